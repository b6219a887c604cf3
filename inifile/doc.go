// Package inifile reads INI files and keeps the file and line of each section
// and key, so that faults can name them. Keys are `name = value`; comments
// start with # or ; at the start of a line.
package inifile
