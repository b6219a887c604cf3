// Package endpointlimit keeps the requests of the OpenAI path within the rate limits that
// endpoints name in their answers. Limiter holds what all hosts learned, over gossip, and gives
// this host an equal share of each limit; its transport carries every call to an endpoint.
package endpointlimit
