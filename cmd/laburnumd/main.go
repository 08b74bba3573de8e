// Command laburnumd is the node that runs beside each backend server.
package main

func main() {}
