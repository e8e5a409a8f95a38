package config

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
)

// tablesOfSize returns the sections of tables at a fraction of the planned size:
// 570 client accounts, 28 routes of 5 stages, and 39 pools with 600 servers.
func tablesOfSize(fraction float64) map[string]Section {
	sections := make(map[string]Section)
	put := func(name, body string) { sections[name] = Section{Name: name, Body: body, Revision: 1} }
	pools := max(1, int(39*fraction))
	for i := range pools {
		body := "versioned = true\n"
		for s := range int(600 * fraction / float64(pools)) {
			body += fmt.Sprintf("server.s%d = zone=z%d addr=10.0.%d.%d:9000 version=v1\n", s, s%11, i, s)
		}
		put(fmt.Sprintf("pool p%d", i), body)
	}
	for i := range max(1, int(28*fraction)) {
		body := "stages = a, b, c, d, e\n"
		for _, stage := range "abcde" {
			body += fmt.Sprintf("%c.pool = p%d\n%c.share = 0.2\n", stage, i%pools, stage)
		}
		put(fmt.Sprintf("route r%d", i), body)
	}
	for i := range int(570 * fraction) {
		put(fmt.Sprintf("account a%d", i), fmt.Sprintf("key_sha256 = %064x\nweight = 1\n", i+1))
	}
	return sections
}

// BenchmarkTables measures, for tables of three sizes, the time of an edit, the
// bytes of a restatement and the heap of one revision.
func BenchmarkTables(b *testing.B) {
	for _, fraction := range []float64{0.1, 0.5, 1} {
		sections := tablesOfSize(fraction)
		b.Run(fmt.Sprintf("sections=%d", len(sections)), func(b *testing.B) {
			t, err := Compile(maps.Clone(sections), 1)
			if err != nil {
				b.Fatal(err)
			}
			state := &State{Offset: 1, Tables: t}
			offset := uint64(1)
			for b.Loop() {
				offset++
				e := Edit{ID: fmt.Sprint(offset), Operator: "o", Section: "account a0", Body: "key_sha256 = " + fmt.Sprintf("%064x", 1) + "\nweight = 2\n", Base: state.Tables.Sections["account a0"].Revision}
				next, result := state.ApplyEdit(e, offset)
				if result.Status != EditAccepted {
					b.Fatal(result.Problem)
				}
				state = next
			}
			b.StopTimer()
			before := heapBytes()
			kept, err := Compile(maps.Clone(sections), 2)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			runtime.KeepAlive(kept)
			restated, err := EncodeRestatement((&State{Offset: 1, Tables: t}).Restate())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(restated)), "restated-bytes")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
