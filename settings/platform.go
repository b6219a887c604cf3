package settings

// PlatformSettings are the settings of section [platform].
type PlatformSettings struct {
	// Store is the IP address and port of the metadata store.
	Store string
}

func readPlatform(r *reader) PlatformSettings {
	return PlatformSettings{
		Store: r.address("platform.store"),
	}
}
