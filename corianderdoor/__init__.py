"""A router fleet for firms that serve very many returning chats."""

VERSION = "0.1.0"
