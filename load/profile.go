package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Profile is a stream of online requests of one kind.
type Profile struct {
	// Name heads the profile's results.
	Name string
	// Key is the customer's bearer key, Service what it calls, Class its
	// urgency.
	Key     string
	Service string
	Class   string
	// Rate is the mean number of arrivals a second.
	Rate float64
	// PromptTokens is the length of a prompt; SharedTokens of them are one of
	// Families common prefixes.
	PromptTokens int
	SharedTokens int
	Families     int
	// MaxTokens is the length of an answer.
	MaxTokens int
}

// Arrival is one request and when it is sent, counted from the start.
type Arrival struct {
	At     time.Duration
	Prompt string
	Host   int
}

// Schedule draws the arrivals of a profile: Poisson in time, over hosts and
// prompt families evenly. The same seed gives the same schedule.
func Schedule(p *Profile, seed uint64, length time.Duration, hosts int) []Arrival {
	r := rand.New(rand.NewPCG(seed, uint64(len(p.Name))))
	var out []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= length {
			return out
		}
		out = append(out, Arrival{At: at, Prompt: prompt(p, r), Host: r.IntN(hosts)})
	}
}

func prompt(p *Profile, r *rand.Rand) string {
	var b strings.Builder
	if p.Families > 0 {
		family := strconv.Itoa(r.IntN(p.Families))
		for i := range p.SharedTokens {
			b.WriteString("family" + family + "-" + strconv.Itoa(i) + " ")
		}
	}
	for range p.PromptTokens - p.SharedTokens {
		b.WriteString(strconv.FormatUint(r.Uint64()%1_000_000, 36) + " ")
	}
	return b.String()
}
