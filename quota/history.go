package quota

import "math"

// windowBins is the number of bins of a window: of 100 ms in a window of 5 s.
const windowBins = 50

// history counts admissions by bin, for the last window.
type history struct {
	// newest is the number of the newest bin that was advanced to.
	newest int64
	counts [windowBins + 1]uint32
	total  int
}

// historyOf returns the history of a workspace, which it creates if there is none.
func historyOf(histories map[string]*history, workspace string, now int64) *history {
	h := histories[workspace]
	if h == nil {
		h = &history{newest: now}
		histories[workspace] = h
	}
	return h
}

// slot returns the place of a bin among the counts.
func (h *history) slot(bin int64) int {
	n := int64(len(h.counts))
	return int((bin%n + n) % n)
}

// advance drops the bins that are older than the window.
func (h *history) advance(bin int64) {
	if bin-h.newest >= int64(len(h.counts)) {
		h.newest, h.total = bin, 0
		clear(h.counts[:])
		return
	}
	for h.newest < bin {
		h.newest++
		i := h.slot(h.newest)
		h.total -= int(h.counts[i])
		h.counts[i] = 0
	}
}

// add counts admissions in a bin, now being the present one.
func (h *history) add(now, bin int64, n int) {
	h.advance(now)
	if n <= 0 || !h.holds(bin) {
		return
	}
	h.counts[h.slot(bin)] += uint32(n)
	h.total += n
}

// remove takes back one admission of a bin.
func (h *history) remove(now, bin int64) {
	h.advance(now)
	if i := h.slot(bin); h.holds(bin) && h.counts[i] > 0 {
		h.counts[i]--
		h.total--
	}
}

// takeBack removes admissions of a bin that another scheduler reported. Ages are rounded to bins
// when a report is made and when it is received, so they may be counted in an adjacent bin.
func (h *history) takeBack(now, bin int64, n int) {
	h.advance(now)
	for _, b := range []int64{bin, bin + 1, bin - 1} {
		for ; n > 0 && h.at(b) > 0; n-- {
			h.remove(now, b)
		}
	}
}

func (h *history) holds(bin int64) bool {
	return bin <= h.newest && bin > h.newest-int64(len(h.counts))
}

// at returns the admissions in a bin.
func (h *history) at(bin int64) int {
	if !h.holds(bin) {
		return 0
	}
	return int(h.counts[h.slot(bin)])
}

// bins returns the admissions by the ages of their bins.
func (h *history) bins() []Bin {
	var out []Bin
	for age := range int64(len(h.counts)) {
		if n := h.at(h.newest - age); n > 0 {
			out = append(out, Bin{int(age), n})
		}
	}
	return out
}

// scaled returns the history times a factor, rounded up in total.
func (h *history) scaled(factor float64) *history {
	if factor >= 1 {
		return h
	}
	out := &history{newest: h.newest}
	sum := 0.0
	for bin := h.newest - windowBins; bin <= h.newest; bin++ {
		sum += factor * float64(h.at(bin))
		if n := int(math.Ceil(sum)) - out.total; n > 0 {
			out.add(h.newest, bin, n)
		}
	}
	return out
}
