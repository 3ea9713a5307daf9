"""The identify stage: whose request is it, and on which route.

Keys are looked up by their SHA-256 and compared in constant time; no key
is ever logged.
"""

import hashlib
import hmac

import attrs

from mangorock import errors


@attrs.frozen
class Identity:
    """The route and the client account of a request."""

    route: object
    account: str
    share: int


def bearer_token(headers):
    """Return the key of an ``Authorization: Bearer`` header, or ''."""
    scheme, _, key = headers.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def has_bearer_token(headers, token):
    """Say whether the request carries ``token`` (constant time)."""
    given = bearer_token(headers).encode()
    return bool(token) and hmac.compare_digest(given, token.encode())


def authorize(tables, route_name, headers):
    """Return the `Identity`, or raise the typed refusal.

    Raises `errors.Unauthenticated`, `errors.NoRoute` or
    `errors.Forbidden`.  An unknown key learns nothing about routes.
    """
    key = bearer_token(headers)
    if not key:
        raise errors.Unauthenticated(
            'no key; send "Authorization: Bearer KEY" with the key of '
            'your client account'
        )
    digest = hashlib.sha256(key.encode()).hexdigest()
    route = tables.routes.get(route_name)
    matched = _find_account_by_digest(tables, route, digest) if route else None
    if matched is not None:
        account_name, account = matched
        return Identity(route, account_name, account.share)
    if digest not in tables.keys():
        raise errors.Unauthenticated(
            'the key is unknown; check it, or ask the operator to add '
            'your client account'
        )
    if route is None:
        raise errors.NoRoute(
            f'no route {route_name!r}; use a model or service name that '
            'the operator has published'
        )
    raise errors.Forbidden(
        f'your account may not use route {route_name!r}; ask the operator '
        'to add it to the route'
    )


def _find_account_by_digest(tables, route, digest):
    """Return (name, account) of a key on a route, or ``None``.

    The look-up goes by the digest, whose timing tells nothing of the key;
    the found one is then compared in constant time.
    """
    account_name = tables.keys().get(digest)
    account = route.accounts.get(account_name)
    if account is None:
        return None
    if not hmac.compare_digest(account.key_sha256, digest):
        return None
    return account_name, account
