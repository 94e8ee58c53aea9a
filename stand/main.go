// Command stand is a program of verbenahaven.
package main

func main() {
}
