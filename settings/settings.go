package settings

// Settings are the settings of one daemon.
type Settings struct {
	Host        HostSettings
	Listen      ListenSettings
	Platform    PlatformSettings
	Ledger      LedgerSettings
	Gossip      GossipSettings
	Membership  MembershipSettings
	Publication PublicationSettings
	Orders      OrdersSettings
	Dispatch    DispatchSettings
	Admission   AdmissionSettings
	Timeline    TimelineSettings
	TLS         TLSSettings
}
