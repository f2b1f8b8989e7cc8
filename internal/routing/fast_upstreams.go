package routing

import (
	"slices"
	"strings"
	"time"
)

// fastUpstreams are the fastest upstreams of a service that a node has used, the fastest
// first.
//
// Upstreams differ in speed, and a node with few requests draws a fast one only by
// chance. Unlike the load, the speed of an upstream stays valid for long. Nodes use
// different upstreams, so their lists differ.
type fastUpstreams []fastUpstream

type fastUpstream struct {
	name        string
	serviceTime time.Duration // from the last load report
}

const (
	// maxFastUpstreams is the number of fast upstreams that are added to the random
	// sample. With fewer, requests concentrate on upstreams that many nodes have in their
	// lists.
	maxFastUpstreams = 4
	// fastUpstreamShare is the share of the choices in which the fast upstreams are added
	// to the sample. The other choices discover further upstreams and keep the fastest
	// from getting more than their share.
	fastUpstreamShare = 2.0 / 3
)

// update sets the service time of an upstream and returns the new list.
func (f fastUpstreams) update(name string, service time.Duration) fastUpstreams {
	f = f.without(name)
	at, _ := slices.BinarySearchFunc(f, service, func(one fastUpstream, s time.Duration) int {
		return int(one.serviceTime - s)
	})
	if at == maxFastUpstreams {
		return f
	}
	f = slices.Insert(f, at, fastUpstream{name: strings.Clone(name), serviceTime: service})
	return f[:min(len(f), maxFastUpstreams)]
}

// without returns the list without the named upstream. The list is modified.
func (f fastUpstreams) without(name string) fastUpstreams {
	return slices.DeleteFunc(f, func(one fastUpstream) bool { return one.name == name })
}
