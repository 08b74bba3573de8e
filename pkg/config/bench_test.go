package config

import (
	"fmt"
	"testing"
)

// fleetLog returns a log with 62 services of 5 routes each in 31 teams, the size expected within two years.
func fleetLog(t testing.TB) *testLog {
	l := newLog(t)
	l.applyAccepted(Publish, TemplateEntity("ranks"), ranksTemplate)
	l.applyAccepted(Publish, ParametersEntity("core", "ranks"), `{"values":{}}`)
	for i := range 62 {
		body := fmt.Sprintf(`"services":[{"name":"s%d"}],"routes":[`, i)
		for r := range 5 {
			if r > 0 {
				body += ","
			}
			body += fmt.Sprintf(`{"name":"r%d-%d","path_prefix":"/v1/s%d/%d","service":"s%d","rank":"urgent","timeout_ms":"${timeout}"}`, i, r, i, r, i)
		}
		l.applyAccepted(Publish, TemplateEntity(fmt.Sprint("t", i)), `{"parameters":[{"name":"timeout","type":"integer","default":500}],"body":{`+body+`]}}`)
		l.applyAccepted(Publish, ParametersEntity(fmt.Sprint("team", i%31), fmt.Sprint("t", i)), `{"values":{}}`)
	}
	return l
}

// BenchmarkReplay measures replaying one accepted amend of parameters at the expected size, and computing the digest.
func BenchmarkReplay(b *testing.B) {
	l := fleetLog(b)
	for i := range b.N {
		service := i % 62
		l.applyAccepted(Amend, ParametersEntity(fmt.Sprint("team", service%31), fmt.Sprint("t", service)), fmt.Sprintf(`{"values":{"timeout":%d}}`, 100+i%400))
		_ = l.state.Digest()
	}
}

// BenchmarkMatch measures the slowest lookup: a path that no route matches.
func BenchmarkMatch(b *testing.B) {
	s := fleetLog(b).state.Snapshot()
	for range b.N {
		if _, ok := s.Match("GET", "/v1/other/0"); ok {
			b.Fatal("matched")
		}
	}
}
