"""The core protocol as small explicit-state models, apart from the product's code.

Each model covers one promise with as few moving parts as show how it could break.
Every rule that a promise rests on is a named guard; a model runs with any guard
switched off, and must then find a run that breaks the promise. A guard whose
absence breaks nothing would be a rule that nobody needs, or a model too small to
show why it is needed.
"""
