package rawhttp

// InvalidStatuses returns three characters that stand in the place of a status and are none of HTTP, which has 100 to
// 599. net/http takes each of them for one.
func InvalidStatuses() []string {
	return []string{"000", "001", "042", "099", "-00", "+20", "600", "777", "999"}
}
