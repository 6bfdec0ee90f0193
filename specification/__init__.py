"""The core protocol as small explicit-state models, independent of the product's code.

Each model covers one property with the fewest moving parts that can break it. Every
rule that a property depends on is a named guard; a model explored with any one guard
switched off must find a run that breaks the property. If it finds none, the rule is
not needed or the model is too small to show why it is.
"""
