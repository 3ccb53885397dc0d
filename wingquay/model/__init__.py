"""Value types shared by all layers: identifiers, key ranges, requests, answers, configuration."""
