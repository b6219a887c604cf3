// Package httpstatus tells the status codes of HTTP from other numbers that net/http takes for one.
package httpstatus
