package engine

import "fmt"

func ExampleExpectedAnswer() {
	fmt.Println(ExpectedAnswer("m", "1", "any bids? tokens=3"))
	// Output: hammer bid paint.
}
