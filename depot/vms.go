package depot

import "context"

// VMs is the platform's list of VMs, which may be stale.
type VMs interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// VM is one VM on the platform's list.
type VM struct {
	name    string
	role    string
	address string
	place   string
	leaving bool
}

// RoleRouter is the role of the VMs that routers run on.
const RoleRouter = "router"

// NewVM returns a VM with its assigned role and the address of its process.
func NewVM(name, role, address, place string, leaving bool) VM {
	return VM{name: name, role: role, address: address, place: place, leaving: leaving}
}

// Name returns the unique name of the VM.
func (v VM) Name() string { return v.name }

// Role returns the role.
func (v VM) Role() string { return v.role }

// Address returns the IP address and port.
func (v VM) Address() string { return v.address }

// Place returns the place.
func (v VM) Place() string { return v.place }

// Leaving reports whether the platform is about to remove the VM.
func (v VM) Leaving() bool { return v.leaving }
