// Package objects defines the named objects that operators publish (models,
// versions, adapters, services and customers) and the validation that a complete
// set of them must pass.
package objects
