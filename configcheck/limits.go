package configcheck

import "github.com/peridotmount/peridotmount/route"

func (k *checker) limits() {
	fields := limitFields(&k.config.Limits)
	place := route.PlaceConfiguration
	k.negative(place, fields...)
	if k.config.Limits.HeaderBytes == 0 {
		k.add(route.Warning, place, "header bytes", "is zero; hosts use a bound of their own")
	}
	if k.config.Limits.BodyBytes == 0 {
		k.add(route.Warning, place, "body bytes", "is zero; hosts use a bound of their own")
	}
}
