"""Export of metrics to Graphite and collectd."""
