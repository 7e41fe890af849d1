package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// orderRoute takes the orders: they must not run twice.
func orderRoute() route {
	return route{"r-order", host, "/orders/", "unsafe", 0.6, 0.25, 1, "storefront", 2}
}

// helpRoute is the route that the operator adds. Its prefix begins no path that the clients of
// this case send: they send /orders/new, without the slash at the end.
func helpRoute() route {
	return route{"r-help", host, "/orders/new/", "safe", 0.5, 0.2, 2, "prepress", 2}
}

// runPrefix sends orders to /orders/new before and after the operator adds a route with the prefix
// /orders/new/, and at last while workers lose the answers of requests that they ran.
func runPrefix(record *record, trouble bool) (int, error) {
	m, err := newMesh(record, "storefront", "storefront", "storefront", "prepress", "prepress")
	if err != nil {
		return failed, err
	}
	defer m.close()
	m.configure(orderRoute())
	if err := m.start(); err != nil {
		return failed, err
	}
	served := m.sendOrders("before")
	if served == 0 {
		return failed, fmt.Errorf("no order was served before the disruption")
	}
	if trouble {
		m.configure(orderRoute(), helpRoute())
	}
	time.Sleep(3 * time.Second) // configApplyS is 2
	m.sendOrders("after")
	if trouble {
		record.line("all workers lose the answers of half of the requests that they run")
		var count atomic.Int64
		for _, each := range m.machines {
			each.worker.setHandle(func(conn net.Conn, request *http.Request, reader *bufio.Reader) bool {
				if count.Add(1)%2 == 0 {
					return each.worker.runWhole(conn, request, reader)
				}
				each.worker.begin(request)
				record.line("%s loses the answer of %s", each.worker.id, request.Header.Get(requestIDHeader))
				return false
			})
		}
	}
	m.sendOrders("lost")
	return m.judgeOrders(), nil
}

// sendOrders sends orders to all machines in turn, to /orders/new and, as a control, to
// /orders/other. It returns how many of them got a 2xx.
func (m *mesh) sendOrders(phase string) (served int) {
	const orders = 40
	for index := range orders {
		target := "/orders/new"
		if index%4 == 3 {
			target = "/orders/other"
		}
		to := m.machines[index%len(m.machines)]
		got := call(m.record, to, http.MethodPost, target, fmt.Sprintf("%s-%d", phase, index), []byte("100 wedding cards"), 600*time.Millisecond)
		if got.status == http.StatusOK {
			served++
		}
	}
	m.record.line("phase %s: %d of %d served", phase, served, orders)
	return served
}

// judgeOrders applies the rules: an order belongs to the route /orders/, which is unsafe and goes to
// storefront in all configurations.
func (m *mesh) judgeOrders() int {
	elsewhere := 0
	runs := map[string]int{}
	for _, each := range m.machines {
		for _, started := range each.worker.runsOf("") {
			runs[started.id]++
			if each.service != "storefront" {
				elsewhere++
			}
		}
	}
	twice := 0
	for id, count := range runs {
		if count > 1 {
			twice++
			m.record.line("TWICE: %s ran %d times", id, count)
		}
	}
	m.record.line("ROUTE: %d runs at a service that no configuration allows; TWICE: %d orders ran more than once", elsewhere, twice)
	if elsewhere > 0 || twice > 0 {
		return broken
	}
	return held
}
