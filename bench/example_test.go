package bench_test

import (
	"fmt"
	"time"

	"github.com/azurerouter/azurerouter/bench"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

func ExampleRun() {
	report := bench.Run(bench.Config{
		Settings: scheduler.DefaultSettings(), Load: 0.8, UrgentShare: 0.7, AgentQueue: 2, Seed: 1, Duration: time.Minute,
	})
	fmt.Println("p50 within 5 % of the ideal:", report.P50 <= 1.05)
	fmt.Println("p99 within 25 % of the ideal:", report.P99 <= 1.25)
	fmt.Println("at most 2.2 messages per task:", report.MessagesPerTask <= 2.2)
	fmt.Println("at most 1 % of messages unused:", report.UnusedShare <= 0.01)
	// Output:
	// p50 within 5 % of the ideal: true
	// p99 within 25 % of the ideal: true
	// at most 2.2 messages per task: true
	// at most 1 % of messages unused: true
}
