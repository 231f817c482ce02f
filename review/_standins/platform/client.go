package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a client with one connection to a frontend, which it keeps open.
type client struct {
	w    *world
	name string
	http *http.Client
}

func (w *world) newClient(name string, r *front) *client {
	addr := r.clients.listener.Addr().String()
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	}}
	return &client{w: w, name: name + "->" + r.process.name, http: &http.Client{Transport: transport, Timeout: 30 * time.Second}}
}

// newID returns the ID of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job describes a job of some steps, one after the other, that are all alike.
type job struct {
	id         string
	steps      int
	tasks      int
	length     time.Duration
	bestEffort bool
	// deadly is set if each task crashes the executor that starts it.
	deadly bool
	// perExecutor is the most tasks of a step at one executor, or 0.
	perExecutor int
}

func (j job) body() string {
	ms := j.length.Milliseconds()
	steps := []map[string]any{}
	for n := range max(j.steps, 1) {
		step := map[string]any{"count": j.tasks, "cpu": 1600, "memMb": 64, "estimateMs": ms}
		if n > 0 {
			step["dependsOn"] = []int{n - 1}
		}
		if j.perExecutor > 0 {
			step["antiAffinity"] = j.perExecutor
		}
		steps = append(steps, step)
	}
	body := map[string]any{"spec": fmt.Sprintf("ms=%d cpu=1600", ms), "steps": steps}
	if j.deadly {
		body["spec"] = fmt.Sprintf("ms=%d cpu=1600 deadly", ms)
	}
	if j.bestEffort {
		body["bestEffort"] = true
	}
	data, _ := json.Marshal(body)
	return string(data)
}

// send sends a request about a job. The status is 0 if there is no complete answer.
func (c *client) send(method string, j job, deadline time.Duration) (status int, body string) {
	content := ""
	if method == http.MethodPost {
		content = j.body()
		c.w.mu.Lock()
		c.w.bestEffort[j.id] = j.bestEffort
		c.w.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://frontend"+prefix+j.id, strings.NewReader(content))
	if err != nil {
		return 0, ""
	}
	request.GetBody, request.Host = nil, host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Azurerouter-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.w.log("client %s sends %s %s", c.name, method, j.id)
	response, err := c.http.Do(request)
	if err != nil {
		c.w.log("client %s gets no answer to %s %s: %v", c.name, method, j.id, err)
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.w.log("client %s gets no complete answer to %s %s: %v", c.name, method, j.id, err)
		return 0, ""
	}
	c.w.log("client %s gets %d %s to %s %s", c.name, response.StatusCode, strings.TrimSpace(string(data)), method, j.id)
	if method == http.MethodDelete {
		c.w.mu.Lock()
		c.w.cancelled[j.id] = time.Now()
		c.w.mu.Unlock()
	}
	return response.StatusCode, string(data)
}
