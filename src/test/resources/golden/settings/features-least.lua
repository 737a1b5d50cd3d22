return {}
