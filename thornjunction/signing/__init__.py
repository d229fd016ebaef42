"""Signed URLs and tokens by RFC 9246 (URI Signing): verify, issue, renew.  Knows no wire and no clock."""
