package retry_test

import (
	"fmt"

	"github.com/galenalug/galenalug/retry"
)

func ExampleClassify() {
	connectFailed := retry.AttemptResult{}
	refusedByServer := retry.AttemptResult{BytesWritten: 120, Refused: true, Complete: true}
	truncatedResponse := retry.AttemptResult{BytesWritten: 120}
	for _, result := range []retry.AttemptResult{connectFailed, refusedByServer, truncatedResponse} {
		fmt.Println(retry.Classify(result) == retry.NotRun)
	}
	// Output:
	// true
	// true
	// false
}
