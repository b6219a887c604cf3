package load

import (
	"net/http"
	"time"
)

// Options are the sizes of a measurement.
type Options struct {
	// Label names the fleet that is measured, such as product or baseline.
	Label string
	Seed  uint64
	// Phase is the length of each phase of a measure.
	Phase time.Duration
	// Service is called by the customers of OnlineKey and BatchKey.
	Service   string
	OnlineKey string
	BatchKey  string
	// Rate is the mean number of online requests a second.
	Rate float64
	// LongRate is the mean number of long requests a second.
	LongRate float64
	// Jobs and Items are the supply of batch work.
	Jobs  int
	Items int
	// SlowEndpoints are slowed by Slowdown in the last measure.
	SlowEndpoints int
	Slowdown      float64
	Client        *http.Client
}

const (
	shortTokens   = 24
	longTokens    = 600
	batchTokens   = 48
	promptTokens  = 120
	sharedTokens  = 96
	promptFamily  = 40
	warmUp        = 3 * time.Second
	settle        = 2 * time.Second
	classOnline   = "online"
	nameOnline    = "online"
	nameLong      = "long"
	nameWarmUp    = "warm-up"
	seedStep      = 1000
	seedLong      = 7
	maxIdleConns  = 4096
	clientTimeout = 5 * time.Minute
)

// NewClient returns an HTTP client for many requests at once.
func NewClient() *http.Client {
	return &http.Client{
		Timeout: clientTimeout,
		Transport: &http.Transport{
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
		},
	}
}

func (o *Options) online() *Profile {
	return &Profile{
		Name:         nameOnline,
		Key:          o.OnlineKey,
		Service:      o.Service,
		Class:        classOnline,
		Rate:         o.Rate,
		PromptTokens: promptTokens,
		SharedTokens: sharedTokens,
		Families:     promptFamily,
		MaxTokens:    shortTokens,
	}
}

func (o *Options) long() *Profile {
	p := o.online()
	p.Name = nameLong
	p.Rate = o.LongRate
	p.MaxTokens = longTokens
	return p
}

func (o *Options) batch() BatchProfile {
	return BatchProfile{
		Key:       o.BatchKey,
		Service:   o.Service,
		Jobs:      o.Jobs,
		Items:     o.Items,
		MaxTokens: batchTokens,
	}
}
