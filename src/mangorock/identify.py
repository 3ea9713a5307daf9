"""Authenticates a request and checks its account's access to the route.

Keys are looked up by their SHA-256 digest and compared in constant time.
They are never logged.
"""

import hashlib
import hmac

import attrs

from mangorock import errors


@attrs.frozen
class Identity:
    """The route and the client account of an authorized request."""

    route: object
    account: str
    share: int


def bearer_token(headers):
    """Return the key from ``Authorization: Bearer``, or '' without one."""
    scheme, _, key = headers.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def has_bearer_token(headers, token):
    """Return whether the request carries ``token``, in constant time."""
    given_token = bearer_token(headers).encode()
    return bool(token) and hmac.compare_digest(given_token, token.encode())


def authorize(tables, route_name, headers):
    """Return the `Identity` of the request's key on a route.

    Raises `errors.Unauthenticated`, `errors.NoRoute` or
    `errors.Forbidden`.  With an unknown key the error is the same for every
    route, so that it does not reveal which routes exist.
    """
    key = bearer_token(headers)
    if not key:
        raise errors.Unauthenticated(
            'the request has no key; send "Authorization: Bearer KEY" with '
            'the key of your client account'
        )
    digest = hashlib.sha256(key.encode()).hexdigest()
    route = tables.routes.get(route_name)
    matched = _find_account_by_digest(tables, route, digest) if route else None
    if matched is not None:
        account_name, account = matched
        return Identity(route, account_name, account.share)
    if digest not in tables.account_names():
        raise errors.Unauthenticated(
            'the key is unknown; check the key or ask the operator to add '
            'your client account'
        )
    if route is None:
        raise errors.NoRoute(
            f'route {route_name!r} does not exist; use a model or service '
            'name that the operator has published'
        )
    raise errors.Forbidden(
        f'your client account has no access to route {route_name!r}; ask the '
        'operator to add it to the route'
    )


def _find_account_by_digest(tables, route, digest):
    """Return (name, account) of a key on a route, or ``None``.

    The lookup uses the digest, so its timing reveals nothing about the key.
    The stored digest is then compared in constant time.
    """
    account_name = tables.account_names().get(digest)
    account = route.accounts.get(account_name)
    if account is None:
        return None
    if not hmac.compare_digest(account.key_sha256, digest):
        return None
    return account_name, account
