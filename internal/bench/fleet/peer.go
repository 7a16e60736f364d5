package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"shallotglade/internal/testcerts"
	"shallotglade/pkg/peer"
)

const (
	// The server runs in the same process, so that 2 workers keep the measurement
	// under 4 busy goroutines.
	callsPerWorker = 10_000
	workers        = 2
	bodyBytes      = 512
	connections    = 100
)

func benchPeer(r *report) error {
	ca, err := testcerts.NewCA("bench")
	if err != nil {
		return err
	}
	server, err := listenNode(ca, "server")
	if err != nil {
		return err
	}
	client, err := listenNode(ca, "client")
	if err != nil {
		return err
	}
	server.Handle("echo", func(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) { return body, nil })
	if err := benchCalls(r, client, server.Addr()); err != nil {
		return err
	}
	return benchConnections(r, ca, server)
}

func listenNode(ca *testcerts.CA, id string) (*peer.Node, error) {
	cert, key, err := ca.Issue(id)
	if err != nil {
		return nil, err
	}
	return peer.Listen(peer.Config{
		Listen: "127.0.0.1:0", Credentials: peer.Credentials{CA: []string{ca.PEM()}, Cert: cert, Key: key},
	})
}

func benchCalls(r *report, client *peer.Node, addr string) error {
	var (
		wg        sync.WaitGroup
		mu        sync.Mutex
		latencies []time.Duration
		callErr   error
	)
	if _, err := client.Call(context.Background(), addr, "echo", nil); err != nil {
		return err
	}
	start, cpuBefore := time.Now(), cpuTime()
	for range workers {
		wg.Go(func() {
			workerLatencies := make([]time.Duration, 0, callsPerWorker)
			body := make([]byte, bodyBytes)
			var err error
			for i := 0; i < callsPerWorker && err == nil; i++ {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				callStart := time.Now()
				_, err = client.Call(ctx, addr, "echo", body)
				workerLatencies = append(workerLatencies, time.Since(callStart))
				cancel()
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, workerLatencies...)
			if err != nil {
				callErr = err
			}
		})
	}
	wg.Wait()
	if callErr != nil {
		return callErr
	}
	elapsed, cpuUsed := time.Since(start), cpuTime()-cpuBefore
	slices.Sort(latencies)
	n := float64(len(latencies))
	r.add("peer", "calls of 512 B, 2 workers", n/elapsed.Seconds(), "1/s")
	r.add("peer", "calls per processor second, both ends", n/cpuUsed.Seconds(), "1/s")
	r.add("peer", "call p50", float64(latencies[len(latencies)/2].Nanoseconds())/1e3, "us")
	r.add("peer", "call p99", float64(latencies[len(latencies)*99/100].Nanoseconds())/1e3, "us")
	return nil
}

// benchConnections measures one connection to the server from each of many nodes.
func benchConnections(r *report, ca *testcerts.CA, server *peer.Node) error {
	nodes := make([]*peer.Node, connections)
	for i := range nodes {
		n, err := listenNode(ca, fmt.Sprint("client-", i))
		if err != nil {
			return err
		}
		nodes[i] = n
	}
	before, cpuBefore := heapBytes(), cpuTime()
	start := time.Now()
	for _, n := range nodes {
		if _, err := n.Call(context.Background(), server.Addr(), "echo", nil); err != nil {
			return err
		}
	}
	elapsed, cpuUsed := time.Since(start), cpuTime()-cpuBefore
	r.add("peer", "first call with handshake, mean", float64(elapsed.Microseconds())/connections, "us")
	r.add("peer", "processor time of a handshake, both ends", float64(cpuUsed.Microseconds())/connections, "us")
	time.Sleep(time.Second) // wait for the release of handshake state
	r.add("peer", "memory per idle connection, both ends", float64(heapBytes()-before)/connections/1024, "KiB")
	sent, received := nodes[0].ConnectionBytes(server.Addr())
	r.add("peer", "handshake and first call, bytes sent by the dialling side", float64(sent), "B")
	r.add("peer", "handshake and first call, bytes received by the dialling side", float64(received), "B")
	n := nodes[1]
	sentBefore, receivedBefore := n.ConnectionBytes(server.Addr())
	const calls = 100
	for range calls {
		if _, err := n.Call(context.Background(), server.Addr(), "echo", make([]byte, 150)); err != nil {
			return err
		}
	}
	sentAfter, receivedAfter := n.ConnectionBytes(server.Addr())
	r.add("peer", "call of 150 B each way, bytes sent and received", float64(sentAfter-sentBefore+receivedAfter-receivedBefore)/calls, "B")
	const idle = 20 * time.Second
	time.Sleep(idle)
	sentIdle, receivedIdle := n.ConnectionBytes(server.Addr())
	r.add("peer", "idle connection, bytes sent and received", float64(sentIdle-sentAfter+receivedIdle-receivedAfter)/idle.Seconds(), "B/s")
	return nil
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
