// Command keepd is a program of verbenahaven.
package main

func main() {
}
