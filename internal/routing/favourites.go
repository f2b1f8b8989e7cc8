package routing

import (
	"slices"
	"strings"
	"time"
)

// favourites are the quickest upstreams of a service that a node has met, the quickest first.
//
// The load pattern: upstreams differ in speed, and a node with few requests draws a quick one
// by chance only. What it has met of the speed of one stays true for long, unlike its load.
// Nodes meet different upstreams, so each has other favourites.
type favourites []favourite

type favourite struct {
	name    string
	service time.Duration // told
}

const (
	// maxFavourites is the number of favourites that a choice compares with those drawn: with
	// fewer, requests gather where many nodes have met the same one.
	maxFavourites = 4
	// favouriteShare is the part of the choices in which they are compared. The others meet
	// further upstreams, and keep the quickest from more than their part.
	favouriteShare = 2.0 / 3
)

// note takes over the service time that an upstream told last.
func (f favourites) note(name string, service time.Duration) favourites {
	f = f.without(name)
	at, _ := slices.BinarySearchFunc(f, service, func(one favourite, s time.Duration) int {
		return int(one.service - s)
	})
	if at == maxFavourites {
		return f
	}
	f = slices.Insert(f, at, favourite{name: strings.Clone(name), service: service})
	return f[:min(len(f), maxFavourites)]
}

// without returns the favourites but for one, of which something else has been met.
func (f favourites) without(name string) favourites {
	return slices.DeleteFunc(f, func(one favourite) bool { return one.name == name })
}
