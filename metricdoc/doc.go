// Package metricdoc describes the metrics of a registry for the documentation.
package metricdoc
