package retry_test

import (
	"fmt"

	"github.com/galenalug/galenalug/retry"
)

func ExampleClassify() {
	refusedDial := retry.AttemptResult{}
	refusedByServer := retry.AttemptResult{BytesWritten: 120, Refused: true, Complete: true}
	brokenAnswer := retry.AttemptResult{BytesWritten: 120}
	for _, end := range []retry.AttemptResult{refusedDial, refusedByServer, brokenAnswer} {
		fmt.Println(retry.Classify(end) == retry.NotRun)
	}
	// Output:
	// true
	// true
	// false
}
