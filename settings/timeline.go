package settings

// TimelineSettings are the settings of section [timeline].
type TimelineSettings struct {
	// Record reports whether events are kept at all.
	Record bool
	// Events is the number of events kept.
	Events int
}

func readTimeline(r *reader) TimelineSettings {
	return TimelineSettings{
		Record: r.yes("timeline.record", true),
		Events: r.number("timeline.events", 100, 1_000_000, 20_000),
	}
}
