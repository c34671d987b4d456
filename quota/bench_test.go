package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/quota"
	"github.com/bambooknot/bambooknot/routing"
)

// BenchmarkAdmit measures a decision among 1,000 organisations. The bound is 1 µs without an allocation.
func BenchmarkAdmit(b *testing.B) {
	limiter := quota.NewShared(quota.NewLimiter(rand.New(rand.NewPCG(1, 1))))
	var organisations []routing.Organisation
	for i := range 1000 {
		organisations = append(organisations, organisation(fmt.Sprint("organisation-", i), 1000))
		limiter.Admit(epoch, organisations[i])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		limiter.Admit(epoch.Add(time.Duration(i)*time.Microsecond), organisations[i%1000])
	}
}
