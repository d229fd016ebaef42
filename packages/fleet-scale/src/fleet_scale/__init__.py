"""Scale runs of the control plane: hollow routers, a stand-in discovery, links, and tables of its costs."""
