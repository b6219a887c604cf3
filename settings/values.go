package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/peridotmount/peridotmount/inifile"
)

// text returns what is given for a key, and takes it off the keys to read.
func (r *reader) text(name string) (inifile.Key, bool) {
	k, found := r.keys[name]
	delete(r.keys, name)
	return k, found
}

// ask notes that a key exists.
func (r *reader) ask(name, accepts, otherwise string) {
	r.asked = append(r.asked, Key{Name: name, Accepts: accepts, Default: otherwise})
}

func (r *reader) required(name string) string {
	r.ask(name, "text, required", "")
	return r.needed(name).Value
}

func (r *reader) needed(name string) inifile.Key {
	k, found := r.text(name)
	if !found || k.Value == "" {
		r.faults = append(r.faults, name+" is missing")
	}
	return k
}

// optional reads a text that may be left out.
func (r *reader) optional(name string) string {
	r.ask(name, "text", "")
	k, _ := r.text(name)
	return k.Value
}

// address reads a host:port to listen on.
func (r *reader) address(name string) string {
	r.ask(name, "ip:port, required", "")
	return r.addressOf(name, r.needed(name))
}

// optionalAddress reads one that may be missing.
func (r *reader) optionalAddress(name string) string {
	r.ask(name, "ip:port", "")
	k, _ := r.text(name)
	return r.addressOf(name, k)
}

func (r *reader) addressOf(name string, k inifile.Key) string {
	if k.Value == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(k.Value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil || (host != "" && net.ParseIP(host) == nil) {
		r.fault(k, name+" is not ip:port")
	}
	return k.Value
}

// anyPort reports whether the operating system chooses the port of an address.
func anyPort(address string) bool {
	return strings.HasSuffix(address, ":0")
}

func (r *reader) oneOf(name, otherwise string, allowed ...string) string {
	r.ask(name, strings.Join(allowed, ", "), otherwise)
	k, found := r.text(name)
	if !found {
		return otherwise
	}
	for _, a := range allowed {
		if k.Value == a {
			return a
		}
	}
	r.fault(k, name+" is none of "+strings.Join(allowed, ", "))
	return otherwise
}

// yes reads a switch.
func (r *reader) yes(name string, otherwise bool) bool {
	words := map[bool]string{true: "yes", false: "no"}
	return r.oneOf(name, words[otherwise], "yes", "no") == "yes"
}

func (r *reader) number(name string, low, high, otherwise int) int {
	r.ask(name, fmt.Sprintf("whole number from %d to %d", low, high), strconv.Itoa(otherwise))
	k, found := r.text(name)
	if !found {
		return otherwise
	}
	n, err := strconv.Atoi(k.Value)
	if err != nil || n < low || n > high {
		r.fault(k, fmt.Sprintf("%s is not a whole number from %d to %d", name, low, high))
		return otherwise
	}
	return n
}

// decimal reads a number that may have a fraction.
func (r *reader) decimal(name string, low, high, otherwise float64) float64 {
	r.ask(name, fmt.Sprintf("number from %g to %g", low, high), strconv.FormatFloat(otherwise, 'g', -1, 64))
	k, found := r.text(name)
	if !found {
		return otherwise
	}
	n, err := strconv.ParseFloat(k.Value, 64)
	if err != nil || !(n >= low && n <= high) {
		r.fault(k, fmt.Sprintf("%s is not a number from %g to %g", name, low, high))
		return otherwise
	}
	return n
}

func (r *reader) duration(name string, low, high, otherwise time.Duration) time.Duration {
	r.ask(name, fmt.Sprintf("duration with unit from %s to %s", low, high), otherwise.String())
	k, found := r.text(name)
	if !found {
		return otherwise
	}
	d, err := time.ParseDuration(k.Value)
	if err != nil || d < low || d > high {
		r.fault(k, fmt.Sprintf("%s is not a duration with unit from %s to %s", name, low, high))
		return otherwise
	}
	return d
}

// size reads a number of bytes with its unit.
func (r *reader) size(name string, low, high, otherwise Bytes) Bytes {
	r.ask(name, fmt.Sprintf("size with unit from %s to %s", low, high), otherwise.String())
	k, found := r.text(name)
	if !found {
		return otherwise
	}
	n, err := parseBytes(k.Value)
	if err != nil || n < low || n > high {
		r.fault(k, fmt.Sprintf("%s is not a size with unit from %s to %s", name, low, high))
		return otherwise
	}
	return n
}

// secret reads a text, or the file that the key with _file behind it names.
func (r *reader) secret(name string) string {
	r.ask(name, "text", "")
	r.ask(name+"_file", "file", "")
	k, given := r.text(name)
	file, inFile := r.text(name + "_file")
	switch {
	case given && inFile:
		r.fault(file, name+" and "+name+"_file are both given")
	case inFile:
		data, err := r.readFile(file.Value)
		if err != nil {
			r.fault(file, name+"_file: "+err.Error())
		}
		return strings.TrimSpace(string(data))
	}
	return k.Value
}
