"""The operators' configuration: intents, plans, confirms, revisions and their dissemination."""
