package settings

import "time"

// PublicationSettings are the settings of section [publication].
type PublicationSettings struct {
	// Poll is the time between two reads of the configuration stream.
	Poll time.Duration
	// Refresh is the time between two refreshes of the revision in force.
	Refresh time.Duration
}

func readPublication(r *reader) PublicationSettings {
	return PublicationSettings{
		Poll:    r.duration("publication.poll", 10*time.Millisecond, 2*time.Second, 200*time.Millisecond),
		Refresh: r.duration("publication.refresh", 100*time.Millisecond, 24*time.Hour, time.Hour),
	}
}
