// Package quota keeps the request rates of workspaces within their quotas, over all hosts
// together. It decides without input or output or a clock.
package quota
