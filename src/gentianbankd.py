"""Starts a node from a checkout, without an installation."""

from gentianbank.daemon import main

if __name__ == '__main__':
    main()
