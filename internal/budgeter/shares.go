package budgeter

// connectionShares are the parts, in 32nds, of the descriptors for connections that each class of clients may use. The rest, as much as callers have,
// is for connections to backend servers, other hosts and the configuration service.
var connectionShares = [ClassCount]int{ClassCallers: 12, ClassDirectory: 2, ClassReadiness: 1, ClassOperators: 1, ClassPeers: 4}

const (
	connectionParts = 32
	// minConnections is the least bound on the connections of a class.
	minConnections = 8
)

// DivideConnections returns the bounds on the connections of each class for a number of descriptors.
func DivideConnections(descriptors int) [ClassCount]int {
	var bounds [ClassCount]int
	for class, share := range connectionShares {
		bounds[class] = max(descriptors*share/connectionParts, minConnections)
	}
	return bounds
}
