package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Orders are like the restoration orders of the archive: they may run at most once, and their clients wait for 4 s.
const (
	orderWork    = 230 * time.Millisecond
	orderTarget  = 600 * time.Millisecond
	orderBudget  = 4 * time.Second
	orderRetries = 2
	orderSlots   = 9
	orderServers = 3
)

// Doses of the disruptions.
const (
	orderRate     = 80.0                    // a second; the servers take about 117
	burstFactor   = 2.2                     // x of burst
	burstTime     = 5 * time.Second         // for_s of burst and give_up
	burstPause    = 5 * time.Second         // between two bursts
	bursts        = 4                       // a kind may come more than once
	giveUpShare   = 0.3                     // share of give_up
	giveUpWithin  = 1500 * time.Millisecond // x of give_up
	leftBound     = 500 * time.Millisecond  // after which a request whose client has left must not reach a server
	fewRequests   = 10                      // "a few"
	orderClientID = "order-%d-%05d-%d"
)

// orders are the clients of a run.
type orders struct {
	f       *fleet
	entry   *node
	trouble bool

	mu   sync.Mutex
	left map[string]time.Time // attempts whose client has closed the connection
	ok   atomic.Int64
	sent atomic.Int64
}

// order sends an order, and again if it was refused. If it gives up, it closes its connection.
func (o *orders) order(number int, givesUp bool) {
	end := time.Now().Add(orderBudget)
	leave := end
	if givesUp {
		leave = time.Now().Add(rand.N(giveUpWithin))
	}
	for attempt := 0; attempt <= orderRetries; attempt++ {
		id := fmt.Sprintf(orderClientID, 1, number, attempt)
		after, again := o.attempt(id, end, leave)
		if !again || time.Now().Add(after).After(leave) {
			return
		}
		time.Sleep(after)
	}
}

// attempt sends one attempt. It returns whether the client may retry, and after how long.
func (o *orders) attempt(id string, end, leave time.Time) (after time.Duration, again bool) {
	conn, err := net.DialTimeout("tcp", o.entry.settings.Listen.Callers, time.Second)
	if err != nil {
		return 0, true
	}
	defer conn.Close()
	o.sent.Add(1)
	fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", requestHead(http.MethodPost, "order", id, time.Until(end)))
	_ = conn.SetReadDeadline(leave)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		conn.Close()
		if leave.Before(end) {
			o.mu.Lock()
			o.left[id] = time.Now()
			o.mu.Unlock()
		}
		return 0, false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		o.ok.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3), true
	}
	return 0, false
}

// gone checks GONE: requests that reach a server over half a second after their client has closed its connection.
func gone(f *fleet, trouble bool) (bool, error) {
	var servers []*server
	for i := range orderServers + 1 {
		service, zone := "visor", []string{"seeb", "nizwa", "sohar"}[i%3]
		if i == orderServers {
			service = "catalogo"
		}
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), orderWork)
		if err != nil {
			return false, err
		}
		n := f.addNode(zone, service, s.address(), nil)
		if err := f.start(n); err != nil {
			return false, err
		}
		servers = append(servers, s)
		go newBeats(f, n, s.id, orderSlots).run()
	}
	entry := f.nodes[orderServers]
	err := f.store.Publish(document(1, route("history", "visor", true, orderTarget, orderBudget, 2), route("order", "visor", false, orderTarget, orderBudget, 2), route("index", "catalogo", true, orderTarget, orderBudget, 2)))
	if err != nil {
		return false, err
	}
	err = await(func() bool {
		for _, n := range f.nodes {
			if !n.ready() || get(n, "warm").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	if err != nil {
		return false, err
	}
	time.Sleep(settleWindow)

	o := &orders{f: f, entry: entry, trouble: trouble, left: make(map[string]time.Time)}
	var clients sync.WaitGroup
	number := 0
	phase := func(d time.Duration, rate, giveUp float64) {
		next := time.Now()
		for end := next.Add(d); time.Now().Before(end); {
			n, leaves := number, rand.Float64() < giveUp
			number++
			clients.Go(func() { o.order(n, leaves) })
			next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
		}
	}
	phase(burstPause, orderRate, 0)
	for range bursts {
		if trouble {
			phase(burstTime, burstFactor*orderRate, giveUpShare)
		} else {
			phase(burstTime, orderRate, 0)
		}
		phase(burstPause, orderRate, 0)
	}
	clients.Wait()
	time.Sleep(time.Second)

	late, ran := 0, 0
	for _, s := range servers {
		for _, e := range s.executions() {
			ran++
			if left, ok := o.left[e.id]; ok && e.at.Sub(left) > leftBound {
				late++
				f.printf("request %s reached %s %v after its client had left", e.id, s.id, e.at.Sub(left).Round(time.Millisecond))
			}
		}
	}
	f.printf("%d orders, %d attempts, %d answered with success, %d left by their clients, %d executions, %d of them reached their server over %v after the client had left",
		number, o.sent.Load(), o.ok.Load(), len(o.left), ran, late, leftBound)
	return late <= fewRequests, nil
}
