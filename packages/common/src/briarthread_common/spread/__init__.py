"""How text, instances and shares reach every process."""
