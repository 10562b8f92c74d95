// Rosemaryspar serves model and booking traffic on reclaimable VMs.
package main
