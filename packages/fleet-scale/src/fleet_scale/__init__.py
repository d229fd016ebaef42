"""Scale runs of the control plane: hollow routers, a fake discovery, proxies, and tables of costs."""
