package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["two-stops"] = playTwoStops }

const (
	// longWork is the work of a long lookup; the site's lookups take up to 8.7 s.
	longWork = 7500 * time.Millisecond
	// stopGap is the time between the stops of the two daemons.
	stopGap = 1300 * time.Millisecond
	// grace is grace_s, and lastSixth when its last sixth begins.
	grace     = 6 * time.Second
	lastSixth = grace / 6 * 5
)

// playTwoStops stops the home of a zone and then a daemon that has forwarded lookups to it.
func playTwoStops(r *run) (bool, error) {
	workers, err := r.begin(4*len(zones), 2*time.Second)
	if err != nil {
		return false, err
	}
	for _, w := range workers[readService] {
		w.onRun = func(_ http.ResponseWriter, in *http.Request, _ []byte) bool {
			if strings.Contains(in.RequestURI, "long") {
				time.Sleep(longWork - w.work)
			}
			return false
		}
	}
	routes := routesTo(readService)
	routes[0].timeoutMs = 12000
	r.store.put("config", "main", configText(9, routes, readService, orderService, otherService))
	home, entry, err := r.homeAndOther()
	if err != nil {
		return false, err
	}
	r.record.printf("home %s, another daemon of its zone %s", home.name, entry.name)
	for range 5 {
		r.sendAll(entry, 6, "short")
	}
	var lost []attempt
	done := make(chan struct{})
	go func() { lost = r.sendAll(entry, 6, "long"); close(done) }()
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		r.record.printf("SIGTERM to %s", home.name)
		_ = home.process.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(stopGap)
	r.record.printf("SIGTERM to %s", entry.name)
	stopped := time.Now()
	_ = entry.process.Process.Signal(syscall.SIGTERM)
	<-done
	broken := false
	for _, a := range lost {
		after := a.endedAt.Sub(stopped)
		if a.status != http.StatusOK && after < lastSixth {
			r.record.printf("LOST: %s was broken off %d ms after the SIGTERM of %s, its worker at work: status %d, %v, %s", a.id, after.Milliseconds(), entry.name, a.status, a.problem, a.body)
			broken = true
		}
	}
	return broken, nil
}

func (r *run) sendAll(d *daemon, count int, name string) []attempt {
	attempts := make([]attempt, count)
	var all sync.WaitGroup
	for i := range attempts {
		all.Go(func() { attempts[i] = r.send(d.frontend, http.MethodGet, readPath+name, "") })
	}
	all.Wait()
	return attempts
}

// homeAndOther returns a daemon of the first zone to which clients are directed, and one to which
// they are not.
func (r *run) homeAndOther() (home, other *daemon, err error) {
	answer, err := http.Get("http://" + r.fleet.daemons[0].registry + "/-/resolve?name=" + host + "&region=" + region + "&zone=" + zones[0])
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	var resolved struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&resolved); err != nil {
		return nil, nil, err
	}
	r.record.printf("clients are directed to %v", resolved.Addresses)
	for _, d := range r.fleet.daemons {
		switch listed := slices.Contains(resolved.Addresses, d.frontend); {
		case d.zone != zones[0]:
		case listed && home == nil:
			home = d
		case !listed && other == nil:
			other = d
		}
	}
	if home == nil || other == nil {
		return nil, nil, errors.New("no daemon of the zone that is a home, or none that is not")
	}
	return home, other, nil
}
