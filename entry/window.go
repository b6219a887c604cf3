package entry

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of the time in which a batch is due.
const (
	defaultWindow = 24 * time.Hour
	minWindow     = time.Minute
	maxWindow     = 14 * 24 * time.Hour
	day           = 24 * time.Hour
)

// parseWindow returns the seconds of a completion window: a whole number of
// days, such as 7d, or a duration, such as 24h or 90m.
func parseWindow(text string) (int64, error) {
	if text == "" {
		return int64(defaultWindow / time.Second), nil
	}
	window, err := time.ParseDuration(text)
	if days, found := strings.CutSuffix(text, "d"); found {
		var n int
		n, err = strconv.Atoi(days)
		window = time.Duration(min(n, int(maxWindow/day)+1)) * day
	}
	if err != nil || window < minWindow || window > maxWindow {
		return 0, invalid("completion_window", fmt.Sprintf("%q is not a time from %s to %s, such as 24h", text, minWindow, maxWindow))
	}
	return int64(window / time.Second), nil
}

// formatWindow writes seconds in the largest whole unit up to hours.
func formatWindow(seconds int64) string {
	window := time.Duration(seconds) * time.Second
	switch {
	case window%time.Hour == 0:
		return strconv.FormatInt(int64(window/time.Hour), 10) + "h"
	case window%time.Minute == 0:
		return strconv.FormatInt(int64(window/time.Minute), 10) + "m"
	default:
		return strconv.FormatInt(seconds, 10) + "s"
	}
}
