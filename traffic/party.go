package traffic

// Party is who is at the other end of a connection.
type Party string

// Parties that a daemon talks to.
const (
	PartyCallers   Party = "callers"
	PartyOperators Party = "operators"
	PartyPeers     Party = "peers"
	PartyPlatform  Party = "platform"
	PartyEndpoints Party = "endpoints"
)
