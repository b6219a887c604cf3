package node

// Version is the version of the build; the linker sets it.
var Version = "dev"
