"""A router for language-model servers that read and write in two stages."""
