// Command entryd is a program of verbenahaven.
package main

func main() {
}
