package retry_test

import (
	"fmt"

	"github.com/galenalug/galenalug/retry"
)

func ExampleClassify() {
	refusedDial := retry.AttemptEnd{}
	refusedByServer := retry.AttemptEnd{BytesWritten: 120, Refused: true, Whole: true}
	brokenAnswer := retry.AttemptEnd{BytesWritten: 120}
	for _, end := range []retry.AttemptEnd{refusedDial, refusedByServer, brokenAnswer} {
		fmt.Println(retry.Classify(end) == retry.NotRun)
	}
	// Output:
	// true
	// true
	// false
}
