// Package standin holds small stand-ins for what surrounds the system: the platform's log and a
// backend server. They serve tests, demonstrations and measurements only.
package standin
